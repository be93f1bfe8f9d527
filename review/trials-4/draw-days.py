import random,sys,subprocess,json,os,time
site,tag,base,until,OUT=sys.argv[1],sys.argv[2],int(sys.argv[3]),float(sys.argv[4]),sys.argv[5]
sitef=f'../given/kit/more/system/{site}.toml'
LLM,APP=os.environ['SVC'].split(',')
zones=os.environ['ZONES'].split(',')
r=random.Random(base)
def z(): return r.choice(zones)
def S(): return r.choice([LLM,APP])
F=[
 lambda: dict(kind='after_ack_kill',for_s=3.0,how=r.choice(['kill','']),),
 lambda: dict(kind='answer_lost',share=0.6,x=r.choice([.03,.3]),for_s=6.0),
 lambda: dict(kind='answer_lost',how='reset',share=0.6,x=r.choice([.06,.4]),for_s=6.0,service=S()),
 lambda: dict(kind='applied_late',x=.35,for_s=5.5),
 lambda: dict(kind='core_cut',count=1,for_s=5.5,how=r.choice(['','giver','leader race','one_way','all','near','oldest','reader','renewed'])),
 lambda: dict(kind='garble',share=.35,x=.0274,for_s=5.5,how=r.choice(['','extra','early'])),
 lambda: dict(kind='garble',share=.6,x=.03,for_s=5.0,how=r.choice(['extra late','unframed','rot'])),
 lambda: dict(kind='give_up',share=.3,for_s=5.5,x=r.choice([150.,400.,1500.])),
 lambda: dict(kind='handle_short',share=.35,for_s=4.4,service=LLM),
 lambda: dict(kind='kv_slow',share=.32,for_s=5.5,service=LLM,x=8.0),
 lambda: dict(kind='lossy',x=.025,for_s=5.5,zone=z()),
 lambda: dict(kind='node_cut',share=.17,for_s=5.5,how=r.choice(['','all','one_way','reset','refuse'])),
 lambda: dict(kind='node_cut',share=.35,for_s=12.0,how='meet'),
 lambda: dict(kind='node_cut',share=.2,for_s=5.0,how='servers'+r.choice([' reborn',' reset',''])),
 lambda: dict(kind='node_freeze',on='core',count=1,for_s=r.choice([1.2,2.5,4.0,6.4]),how=r.choice(['leader','giver renewed','giver','reader'])),
 lambda: dict(kind='node_freeze',share=.16,for_s=r.choice([1.5,3.0])),
 lambda: dict(kind='node_kill',share=.16,for_s=3.5,how=r.choice(['','power'])),
 lambda: dict(kind='node_kill',on='core',count=1,for_s=3.0,how=r.choice(['leader race drain','meet drain','power leader','giver','leader hard'])),
 lambda: dict(kind='node_slow',share=.15,x=5.5,for_s=5.5),
 lambda: dict(kind='platform_compact',x=6.0,for_s=12.0,how='drain'),
 lambda: dict(kind='platform_down',for_s=r.choice([3.0,8.0]),how=r.choice(['silent','busy','reset','silent lapse','busy lapse'])),
 lambda: dict(kind='platform_down',share=.35,for_s=9.0,how='nodes '+r.choice(['busy','many','reset','silent'])+r.choice([' meet drain',' meet','',' leader'])),
 lambda: dict(kind='platform_lost',x=.35,for_s=4.5,how=r.choice(['','late'])),
 lambda: dict(kind='platform_slow',x=96.0,for_s=4.5),
 lambda: dict(kind='retry_abuse',x=3.0,share=.3,for_s=5.5),
 lambda: dict(kind='srv_crash',service=S(),share=r.choice([.17,.25]),for_s=r.choice([1.0,4.6]),how=r.choice(['','dark','gone'])),
 lambda: dict(kind='srv_grey',share=.34,x=.45,for_s=6.5,service=S(),how=r.choice(['errors','shed','busy','hang','reset','mute','slow'])),
 lambda: dict(kind='zone_cut',for_s=r.choice([2.0,6.0]),zone=z(),how=r.choice(['drop','drop meet','reset'])),
 lambda: dict(kind='srv_cut',share=.2,for_s=5.0,how=r.choice(['','fronts','some','reborn','reset','one_way'])),
 lambda: dict(kind='srv_slow',share=.15,x=4.0,for_s=5.0),
 lambda: dict(kind='replace_with_reuse',share=.15,how=r.choice(['','drain','dark'])),
 lambda: dict(kind='herd_kill',share=.55,for_s=2.0,how=r.choice(['','power'])),
 lambda: dict(kind='clock_step',share=.3,x=2000.0,for_s=5.0,how=r.choice(['back','ahead'])),
 lambda: dict(kind='reset_conns',share=.1,x=.5),
 lambda: dict(kind='srv_lying_health',share=.2,for_s=5.0),
 lambda: dict(kind='srv_flap',share=.15,for_s=6.0),
]
P=[
 lambda: dict(kind='config_change',how=r.choice(['route','weights','timeout','idle'])),
 lambda: dict(kind='config_change',how=r.choice(['route','weights','timeout','idle'])),
 lambda: dict(kind='config_storm'),
 lambda: dict(kind='big_config',count=350),
 lambda: dict(kind='hup',share=.769,gap_s=2.0),
 lambda: dict(kind='release',share=.52,x=1.0,gap_s=r.choice([.7,1.08]),service=S()),
 lambda: dict(kind='replace_core',x=2.0,how='planned'),
 lambda: dict(kind='roll_term',share=1.0,x=1.0,gap_s=r.choice([1.0,2.0]),how=r.choice(['','busy','leader'])),
 lambda: dict(kind='scale_in',share=.25),
 lambda: dict(kind='scale_out',share=.25,gap_s=2.0),
]
def val(v):
    return json.dumps(v)
def ent(e): return '{ '+', '.join(f'{k} = {val(v)}' for k,v in e.items())+' }'
n=0
log=open(f'{OUT}/fuzz-{tag}.log','a')
while time.time()<until:
    n+=1
    t=r.uniform(2,10)
    faults=[];plan=[]
    for c in range(r.choice([1,2,3])):
        for f in range(r.choice([1,2,2,3])):
            e=r.choice(F)(); e['at']=round(t+r.uniform(0,4),2); faults.append(e)
        for f in range(r.choice([0,1,1,2])):
            e=r.choice(P)(); e['at']=round(t+r.uniform(-1,4),2); plan.append(e)
        t+=r.uniform(8,14)
    cl=r.choice([None,None,dict(kind='power_off_all',down_s=1.2),dict(kind='kill_all',down_s=.7),dict(kind='wipe_after_ack',down_s=1.2,how='timed')])
    name=f'f{tag}{n}'
    p=f'{OUT}/days/{name}.toml'
    seed=r.randrange(1,1000)
    s=f'[[day]]\nname = "{name}"\nlength_s = {round(min(92,t+6),1)}\n'
    if cl: s+='closing = '+ent(cl)+'\n'
    s+='plan = [\n'+''.join(' '+ent(e)+',\n' for e in plan)+']\nfaults = [\n'+''.join(' '+ent(e)+',\n' for e in faults)+']\n'
    open(p,'w').write(s)
    rep=f'{OUT}/rep-{name}.json'
    q=subprocess.run(['../given/kit/more/system/bin/fleetbench','run',sitef,p,'--seed',str(seed),'--report',rep],capture_output=True,text=True)
    try:
        d=json.load(open(rep)); os.remove(rep)
        log.write(json.dumps(dict(name=name,seed=seed,G=d['G'],breaks=d['breaks'],fault=d['fault'],exits=d['exits_n'],first=str(d['first'])[:300]))+'\n')
    except Exception as ex:
        log.write(json.dumps(dict(name=name,seed=seed,err=(q.stdout+q.stderr)[-300:]))+'\n')
    log.flush()
